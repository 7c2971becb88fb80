import type { Instance } from '@wisterialift/schema';

/** The platform's list of instances, shown as it was some time ago. @public */
export interface InstanceList {
  put: (instance: Instance) => void;
  remove: (name: string) => void;
  /** The list as it was `lagMilliseconds` before now. */
  list: (lagMilliseconds: number) => Instance[];
}

interface Snapshot {
  takenAt: number;
  instances: Instance[];
}

/** Snapshots older than this are forgotten; a greater lag shows the oldest one kept. */
const KEPT_MILLISECONDS = 600_000;

/**
 * Keeps the instances and the history of their list.
 *
 * @param options.now - milliseconds on a clock that never goes back.
 * @public
 */
export function createInstanceList(options: { now: () => number }): InstanceList {
  let instances = new Map<string, Instance>();
  let snapshots: Snapshot[] = [{ takenAt: -Infinity, instances: [] }];

  function put(instance: Instance): void {
    instances = new Map(instances).set(instance.name, instance);
    takeSnapshot();
  }

  function remove(name: string): void {
    if (!instances.delete(name)) return;
    takeSnapshot();
  }

  function takeSnapshot(): void {
    const takenAt = options.now();
    snapshots.push({ takenAt, instances: [...instances.values()] });
    const firstKept = snapshots.findLastIndex(
      (snapshot) => snapshot.takenAt <= takenAt - KEPT_MILLISECONDS,
    );
    snapshots = snapshots.slice(Math.max(0, firstKept));
  }

  function list(lagMilliseconds: number): Instance[] {
    const shownAt = options.now() - lagMilliseconds;
    return snapshots.findLast((snapshot) => snapshot.takenAt <= shownAt)?.instances ?? [];
  }

  return { put, remove, list };
}
