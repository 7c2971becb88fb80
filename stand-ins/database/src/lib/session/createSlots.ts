/** Statements that run at the same time are limited; the others queue. */
export interface Slots {
  /** Keeps a slot for the time that a statement takes. */
  occupy: (milliseconds: number) => Promise<void>;
}

/** Creates the slots of one database. */
export function createSlots(count: number): Slots {
  let free = count;
  const waiting: (() => void)[] = [];

  function release(): void {
    const next = waiting.shift();
    if (next) next();
    else free += 1;
  }

  async function take(): Promise<void> {
    if (free > 0) {
      free -= 1;
      return;
    }
    await new Promise<void>((resolve) => {
      waiting.push(resolve);
    });
  }

  return {
    occupy: async (milliseconds) => {
      if (milliseconds <= 0) return;
      await take();
      await new Promise((resolve) => {
        setTimeout(resolve, milliseconds);
      });
      release();
    },
  };
}
