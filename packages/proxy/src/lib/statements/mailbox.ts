/** The message queue of a task. @internal */
export interface Mailbox<Message> {
  post: (message: Message) => void;
}

/**
 * Creates the mailbox of a task.
 *
 * Messages are handled one at a time, in order, after the sender's current callback has returned. A
 * handler is therefore never re-entered, and its exceptions do not propagate to the sender.
 *
 * @internal
 */
export function createMailbox<Message>(handle: (message: Message) => void): Mailbox<Message> {
  let queue: Message[] = [];
  let isScheduled = false;

  const handleQueue = (): void => {
    while (queue.length > 0) {
      const messages = queue;
      queue = [];
      messages.forEach(handle);
    }
    isScheduled = false;
  };

  return {
    post: (message) => {
      queue.push(message);
      if (isScheduled) return;
      isScheduled = true;
      process.nextTick(handleQueue);
    },
  };
}
