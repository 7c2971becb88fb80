/** A straight line through measured points. */
export interface Slope {
  /** Rise for one more of what was varied. */
  perUnit: number;
  /** Value at none. */
  atZero: number;
}

/** Fits a line by least squares. */
export function fitSlope(points: readonly { x: number; y: number }[]): Slope {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const products = points.map(({ x, y }) => (x - meanX) * (y - meanY));
  const squares = points.map(({ x }) => (x - meanX) ** 2);
  const perUnit = mean(products) / mean(squares);
  return { perUnit, atZero: meanY - perUnit * meanX };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
