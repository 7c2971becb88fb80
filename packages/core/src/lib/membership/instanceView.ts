import type { Instance } from '@wisterialift/schema';

/** An instance's view of the others, from platform lists and peer messages. @public */
export interface InstanceView {
  /** The instance that holds this view; always part of it. */
  readonly self: Instance;
  /** Whether a list has shown the instance itself as live since its start. */
  readonly isSelfListed: boolean;
  readonly others: readonly KnownInstance[];
}

/** Another instance, with state that is not part of its list entry. @public */
export interface KnownInstance {
  readonly instance: Instance;
  /** Number of consecutive lists without this instance. */
  readonly missedLists: number;
  /**
   * Lists merged before this time do not make the instance live again; undefined if no announced
   * departure applies.
   */
  readonly leavingOverrideUntil: number | undefined;
}

/** Number of consecutive lists without an instance after which the view drops it. @public */
export const MISSED_LISTS_LIMIT = 2;

/** How long an announced departure overrides the list. @public */
export const LEAVING_OVERRIDE_MILLISECONDS = 60_000;

/** Creates a view that contains only the instance itself. @public */
export function createInstanceView(self: Instance): InstanceView {
  return { self, isSelfListed: false, others: [] };
}

/** Replaces the entry of the instance itself, for example when it starts leaving. @public */
export function replaceSelf(view: InstanceView, self: Instance): InstanceView {
  return { ...view, self };
}

/**
 * Merges a list of the platform into a view.
 *
 * Consecutive lists may come from platform replicas of different age. One list without an instance
 * therefore does not remove it, which would assign its share of the connections to others.
 *
 * @param options.now - monotonic time in milliseconds.
 * @public
 */
export function mergeInstanceList(options: {
  view: InstanceView;
  instances: readonly Instance[];
  now: number;
}): InstanceView {
  const { view, instances, now } = options;
  const listed = instances
    .filter(({ name }) => name !== view.self.name)
    .map((instance) => mergeInstance(view, instance, now));
  const listedNames = new Set(instances.map(({ name }) => name));
  const missed = view.others
    .filter(({ instance }) => !listedNames.has(instance.name))
    .map((known) => ({ ...known, missedLists: known.missedLists + 1 }))
    .filter(({ missedLists }) => missedLists < MISSED_LISTS_LIMIT);
  return { ...mergeSelf(view, instances), others: [...listed, ...missed] };
}

/**
 * Marks an instance as leaving before the platform lists it as leaving.
 *
 * @param options.now - monotonic time in milliseconds.
 * @public
 */
export function markLeaving(options: {
  view: InstanceView;
  name: string;
  now: number;
}): InstanceView {
  const { view, name, now } = options;
  const leavingOverrideUntil = now + LEAVING_OVERRIDE_MILLISECONDS;
  const others = view.others.map((known) =>
    known.instance.name === name ? { ...known, leavingOverrideUntil } : known,
  );
  return { ...view, others };
}

/** Returns the instances of a view sorted by name, with announced departures applied. @public */
export function listInstances(view: InstanceView): Instance[] {
  const others = view.others.map(({ instance, leavingOverrideUntil }) =>
    leavingOverrideUntil === undefined ? instance : { ...instance, state: 'leaving' as const },
  );
  return [view.self, ...others].sort((left, right) => (left.name < right.name ? -1 : 1));
}

/**
 * Applies an operator's drain only once a list has shown the instance live: an older list may contain
 * a leaving predecessor of the same name, which would stop this one.
 */
function mergeSelf(view: InstanceView, instances: readonly Instance[]): InstanceView {
  const state = instances.find(({ name }) => name === view.self.name)?.state;
  if (state === 'live') return { ...view, isSelfListed: true };
  if (state !== 'leaving' || !view.isSelfListed) return view;
  return { ...view, self: { ...view.self, state } };
}

function mergeInstance(view: InstanceView, instance: Instance, now: number): KnownInstance {
  const known = view.others.find((other) => other.instance.name === instance.name);
  const leavingOverrideUntil = known?.leavingOverrideUntil;
  const hasExpired = leavingOverrideUntil !== undefined && leavingOverrideUntil <= now;
  return {
    instance,
    missedLists: 0,
    leavingOverrideUntil: hasExpired ? undefined : leavingOverrideUntil,
  };
}
