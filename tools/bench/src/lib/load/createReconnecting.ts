import type { Connection } from 'mysql2/promise';
import { isConnectionUsable } from './callerError';

/** A connection that is opened again after it broke off. */
export interface ReconnectingConnection {
  /** Runs an action on the connection; its error comes through. */
  use: <Result>(action: (connection: Connection) => Promise<Result>) => Promise<Result>;
  close: () => void;
}

/** Error of an action that met no connection; it was not sent. */
export class ConnectError extends Error {
  readonly errno = 9101;

  constructor(cause: unknown) {
    super('no connection', { cause });
    this.name = 'ConnectError';
  }
}

/** Opens the connection at its first use. */
export function createReconnecting(open: () => Promise<Connection>): ReconnectingConnection {
  let connection: Connection | undefined;

  async function find(): Promise<Connection> {
    try {
      connection ??= await open();
      return connection;
    } catch (error) {
      throw new ConnectError(error);
    }
  }

  function close(): void {
    connection?.destroy();
    connection = undefined;
  }

  return {
    use: async (action) => {
      const present = await find();
      try {
        return await action(present);
      } catch (error) {
        if (!isConnectionUsable(error)) close();
        throw error;
      }
    },
    close,
  };
}
