/** An object as the platform keeps it. @public */
export interface StoredObject {
  kind: string;
  name: string;
  /** 1 for a new object, one higher with each change. */
  version: number;
  value: unknown;
}

/** Identity of an object. @public */
export interface ObjectKey {
  kind: string;
  name: string;
}

/** A conditional update; `expectedVersion` 0 asks that the object does not exist yet. @public */
export interface ObjectUpdate extends ObjectKey {
  expectedVersion: number;
  value: unknown;
}

/** What became of an update; `version` is the present one in both cases. @public */
export interface ObjectUpdateResult {
  status: 'stored' | 'conflict';
  version: number;
}

/** @public */
export interface ObjectStore {
  get: (key: ObjectKey) => StoredObject | undefined;
  list: (kind: string) => StoredObject[];
  update: (update: ObjectUpdate) => ObjectUpdateResult;
}

/** Joins kind and name to a key; neither may hold the separator, as both come from a path. */
export function formatObjectKey({ kind, name }: ObjectKey): string {
  return `${kind}/${name}`;
}

/**
 * Keeps versioned objects in memory.
 *
 * @param options.onChange - called after each stored update.
 * @public
 */
export function createObjectStore(options: {
  onChange: (object: StoredObject) => void;
}): ObjectStore {
  const objects = new Map<string, StoredObject>();

  function get(key: ObjectKey): StoredObject | undefined {
    return objects.get(formatObjectKey(key));
  }

  function list(kind: string): StoredObject[] {
    return [...objects.values()].filter((object) => object.kind === kind);
  }

  function update({ kind, name, expectedVersion, value }: ObjectUpdate): ObjectUpdateResult {
    const presentVersion = get({ kind, name })?.version ?? 0;
    if (presentVersion !== expectedVersion) return { status: 'conflict', version: presentVersion };
    const object: StoredObject = { kind, name, version: presentVersion + 1, value };
    objects.set(formatObjectKey(object), object);
    options.onChange(object);
    return { status: 'stored', version: object.version };
  }

  return { get, list, update };
}
