/** Returns a function that starts `call` unless it runs already, and resolves with its result. */
export function shareRunning<Value>(call: () => Promise<Value>): () => Promise<Value> {
  let running: Promise<Value> | undefined;
  return () => {
    running ??= call().finally(() => {
      running = undefined;
    });
    return running;
  };
}
