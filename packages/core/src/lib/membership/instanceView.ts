import type { Instance } from '@wisterialift/schema';

/** What an instance believes of the others, from lists that lag and from what peers said. @public */
export interface InstanceView {
  /** The instance that has this view; always a part of it, as it knows itself best. */
  readonly self: Instance;
  /** Whether a list has shown the instance itself as live since it was started. */
  readonly isSelfListed: boolean;
  readonly others: readonly KnownInstance[];
}

/** Another instance, with what weakens or overrides its entry in the list. @public */
export interface KnownInstance {
  readonly instance: Instance;
  /** Lists in a row that did not name it. */
  readonly missedLists: number;
  /** It said itself that it leaves; a list that shows it live is older, until this time. */
  readonly leavingUntil: number | undefined;
}

/** An instance leaves the view when so many lists in a row did not name it. @public */
export const MISSED_LISTS_LIMIT = 2;

/** How long a leaving that a peer announced overrides the list, in milliseconds. @public */
export const LEAVING_MEMORY_MILLISECONDS = 60_000;

/** A view that knows only the instance itself. @public */
export function createInstanceView(self: Instance): InstanceView {
  return { self, isSelfListed: false, others: [] };
}

/** Replaces the entry of the instance itself, as when it begins to leave. @public */
export function withSelf(view: InstanceView, self: Instance): InstanceView {
  return { ...view, self };
}

/**
 * Merges a list of the platform into a view.
 *
 * Lists lag, and two in a row may come from copies of different age, so that an instance seems to
 * go and come back. A single list without it therefore does not remove it: shares of scarce
 * connections would otherwise be handed out twice.
 *
 * @param options.now - milliseconds on a clock that never goes back.
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
    .map((instance) => meetInstance(view, instance, now));
  const listedNames = new Set(instances.map(({ name }) => name));
  const missed = view.others
    .filter(({ instance }) => !listedNames.has(instance.name))
    .map((known) => ({ ...known, missedLists: known.missedLists + 1 }))
    .filter(({ missedLists }) => missedLists < MISSED_LISTS_LIMIT);
  return { ...meetSelf(view, instances), others: [...listed, ...missed] };
}

/**
 * Takes in that an instance said it leaves, ahead of the list.
 *
 * @param options.now - milliseconds on a clock that never goes back.
 * @public
 */
export function mergeLeaving(options: {
  view: InstanceView;
  name: string;
  now: number;
}): InstanceView {
  const { view, name, now } = options;
  const leavingUntil = now + LEAVING_MEMORY_MILLISECONDS;
  const others = view.others.map((known) =>
    known.instance.name === name ? { ...known, leavingUntil } : known,
  );
  return { ...view, others };
}

/** The instances of a view in the order of their names, those that leave marked as such. @public */
export function instancesOf(view: InstanceView): Instance[] {
  const others = view.others.map(({ instance, leavingUntil }) =>
    leavingUntil === undefined ? instance : { ...instance, state: 'leaving' as const },
  );
  return [view.self, ...others].sort((left, right) => (left.name < right.name ? -1 : 1));
}

/**
 * An operator drains an instance by marking it in the list. The mark counts only after a list has
 * shown the instance live: a list from before it was started may still show the leaving of its
 * predecessor of the same name, and a fresh instance would stop at once.
 */
function meetSelf(view: InstanceView, instances: readonly Instance[]): InstanceView {
  const state = instances.find(({ name }) => name === view.self.name)?.state;
  if (state === 'live') return { ...view, isSelfListed: true };
  if (state !== 'leaving' || !view.isSelfListed) return view;
  return { ...view, self: { ...view.self, state } };
}

function meetInstance(view: InstanceView, instance: Instance, now: number): KnownInstance {
  const known = view.others.find((other) => other.instance.name === instance.name);
  const leavingUntil = known?.leavingUntil;
  const isOver = leavingUntil !== undefined && leavingUntil <= now;
  return { instance, missedLists: 0, leavingUntil: isOver ? undefined : leavingUntil };
}
