import { PlatformNameError } from './errors/platformNameError';

/**
 * Encodes a name as one segment of a path, a different one for each name.
 *
 * @throws PlatformNameError if the name is empty or has half a surrogate pair, which UTF-8 cannot hold.
 * @public
 */
export function encodePathSegment(name: string): string {
  if (name === '' || /\p{Surrogate}/u.test(name)) {
    throw new PlatformNameError(`${JSON.stringify(name)} is no name of an object`);
  }
  // A segment of dots alone would be resolved.
  return /^\.{1,2}$/.test(name) ? name.replaceAll('.', '%2E') : encodeURIComponent(name);
}
