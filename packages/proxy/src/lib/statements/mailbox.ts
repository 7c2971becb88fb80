/** Where a task receives its messages. @internal */
export interface Mailbox<Message> {
  post: (message: Message) => void;
}

/**
 * Creates the mailbox of a task.
 *
 * Messages are handled in their order, one after the other, once the sender's own step is over. So a
 * task never sees its state change under its hands, and a fault in a task does not unwind into the
 * socket's library.
 *
 * @internal
 */
export function createMailbox<Message>(handle: (message: Message) => void): Mailbox<Message> {
  let waiting: Message[] = [];
  let isDraining = false;

  const drain = (): void => {
    while (waiting.length > 0) {
      const messages = waiting;
      waiting = [];
      messages.forEach(handle);
    }
    isDraining = false;
  };

  return {
    post: (message) => {
      waiting.push(message);
      if (isDraining) return;
      isDraining = true;
      process.nextTick(drain);
    },
  };
}
