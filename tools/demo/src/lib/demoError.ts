/** A step of the demo did not show what it is meant to show. */
export class DemoError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'DemoError';
  }
}
