import { expect, test } from 'vitest';
import { fitSlope } from '../lib/slopes/fitSlope';

test('the line through points that lie on one is found', () => {
  const points = [1, 2, 5, 9].map((x) => ({ x, y: 3 + 0.5 * x }));
  const { perUnit, atZero } = fitSlope(points);
  expect(perUnit).toBeCloseTo(0.5, 9);
  expect(atZero).toBeCloseTo(3, 9);
});
