import { createHash, timingSafeEqual } from 'node:crypto';

const HASH_BYTES = 20;

/** What a client proves its password with. @public */
export interface PasswordProof {
  /** 20 random bytes of the handshake. */
  scramble: Buffer;
  /** The client's answer: SHA1(password) XOR SHA1(scramble + SHA1(SHA1(password))). */
  answer: Buffer;
}

/**
 * Checks an answer of `mysql_native_password` without knowing the password.
 *
 * @param passwordHash - hexadecimal SHA1(SHA1(password)).
 * @public
 */
export function isPasswordProven(
  passwordHash: string,
  { scramble, answer }: PasswordProof,
): boolean {
  const stored = Buffer.from(passwordHash, 'hex');
  // An empty answer stands for an empty password, which has a hash of its own.
  if (answer.length === 0) return timingSafeEqual(stored, sha1(sha1(Buffer.alloc(0))));
  if (answer.length !== HASH_BYTES) return false;
  const passwordSha = xor(answer, sha1(Buffer.concat([scramble, stored])));
  return timingSafeEqual(stored, sha1(passwordSha));
}

function sha1(data: Buffer): Buffer {
  return createHash('sha1').update(data).digest();
}

function xor(left: Buffer, right: Buffer): Buffer {
  // eslint-disable-next-line no-bitwise
  return Buffer.from(left.map((byte, index) => byte ^ (right[index] ?? 0)));
}
