import { createHash, timingSafeEqual } from 'node:crypto';

const HASH_BYTES = 20;

/** Challenge and response of `mysql_native_password`. @public */
export interface ChallengeResponse {
  /** The challenge: 20 random bytes sent in the handshake. */
  scramble: Buffer;
  /** SHA1(password) XOR SHA1(scramble + SHA1(SHA1(password))). */
  response: Buffer;
}

/**
 * Verifies a `mysql_native_password` response against the stored password hash.
 *
 * @param passwordHash - hexadecimal SHA1(SHA1(password)).
 * @public
 */
export function isPasswordProven(
  passwordHash: string,
  { scramble, response }: ChallengeResponse,
): boolean {
  const storedHash = Buffer.from(passwordHash, 'hex');
  // Clients send an empty response for an empty password.
  if (response.length === 0) return timingSafeEqual(storedHash, sha1(sha1(Buffer.alloc(0))));
  if (response.length !== HASH_BYTES) return false;
  const passwordSha1 = xor(response, sha1(Buffer.concat([scramble, storedHash])));
  return timingSafeEqual(storedHash, sha1(passwordSha1));
}

function sha1(data: Buffer): Buffer {
  return createHash('sha1').update(data).digest();
}

function xor(left: Buffer, right: Buffer): Buffer {
  // eslint-disable-next-line no-bitwise
  return Buffer.from(left.map((byte, index) => byte ^ (right[index] ?? 0)));
}
