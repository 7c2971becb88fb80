/** Decimal places of shares and worth. @internal */
export const SHARE_PLACES = 3;

/** Rounds to a number of decimal places. @internal */
export function roundTo(value: number, places: number): number {
  const scale = 10 ** places;
  return Math.round(value * scale) / scale;
}
