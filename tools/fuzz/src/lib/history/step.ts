/** Steps of requests and of changes of primary at which a fault may strike. @public */
export const STEPS = [
  'connect',
  'authenticate',
  'route',
  'send',
  'commit',
  'confirm',
  'answer',
  'fence',
  'choose',
  'promote',
  'publish',
  'adopt',
  'drain',
] as const;

/** @public */
export type Step = (typeof STEPS)[number];
