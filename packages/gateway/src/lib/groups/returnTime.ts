const RETURN_TIME_PATTERN = /come back in (\d+) ms$/;

/** Appends a return time to the detail of a refusal; `parseReturnTime` reads it. */
export function appendReturnTime(detail: string, milliseconds: number): string {
  return `${detail}, come back in ${milliseconds} ms`;
}

/** Reads the return time in milliseconds from a refusal's detail; undefined if it states none. @public */
export function parseReturnTime(detail: string): number | undefined {
  const milliseconds = RETURN_TIME_PATTERN.exec(detail)?.[1];
  return milliseconds === undefined ? undefined : Number(milliseconds);
}
