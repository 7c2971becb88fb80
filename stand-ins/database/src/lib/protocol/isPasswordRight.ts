import { createHash, timingSafeEqual } from 'node:crypto';
import type { Credentials } from './serverConnection';

function sha1(...parts: (Buffer | string)[]): Buffer {
  const hash = createHash('sha1');
  parts.forEach((part) => hash.update(part));
  return hash.digest();
}

/* eslint-disable no-bitwise -- the scramble is an exclusive or of bytes */
/** Checks a scramble of `mysql_native_password`. */
export function isPasswordRight(credentials: Credentials, password: string): boolean {
  const { authPluginData1, authPluginData2, authToken } = credentials;
  if (password === '') return authToken.length === 0;
  const stage1 = sha1(password);
  const mask = sha1(authPluginData1, authPluginData2.subarray(0, 12), sha1(stage1));
  const expected = Buffer.from(stage1.map((byte, index) => byte ^ (mask[index] ?? 0)));
  return authToken.length === expected.length && timingSafeEqual(authToken, expected);
}
