import { expect, it } from 'vitest';
import {
  encodeLengthEncodedInteger,
  getLengthEncodedIntegerSize,
  readLengthEncodedInteger,
} from '../lib/protocol/lengthEncoded';

it.each([0, 0xfa, 0xfb, 0xffff, 0x1_0000, 0xff_ffff, 0x100_0000, 2 ** 53 - 1])(
  'the length %i is read as it was encoded',
  (value) => {
    // Guards against a long name or value in an answer that ends the service of all callers.
    const encoded = encodeLengthEncodedInteger(value);
    expect(getLengthEncodedIntegerSize(encoded, 0)).toBe(encoded.length);
    expect(readLengthEncodedInteger(encoded, 0)).toBe(value);
  },
);
