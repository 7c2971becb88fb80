/** A JSON value; not checked by the type. @public */
export type JsonValue = unknown;

/**
 * Applies a JSON merge patch (RFC 7396) without modifying its arguments.
 *
 * Keys are defined as own properties, so the key `__proto__` cannot set the prototype of the result.
 *
 * @public
 */
export function mergePatch(target: JsonValue, patch: JsonValue): JsonValue {
  if (!isObject(patch)) return patch;
  const merged = new Map(isObject(target) ? Object.entries(target) : []);
  Object.entries(patch).forEach(([key, change]) => {
    if (change === null) merged.delete(key);
    else merged.set(key, mergePatch(merged.get(key), change));
  });
  return Object.fromEntries(merged);
}

function isObject(value: JsonValue): value is Record<string, JsonValue> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
