/** Blocks the event loop of the process. */
export function blockProcess(milliseconds: number): void {
  const endsAt = performance.now() + milliseconds;
  while (performance.now() < endsAt);
}
