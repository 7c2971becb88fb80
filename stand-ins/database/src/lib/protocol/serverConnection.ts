import type { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import { createConnection } from 'mysql2';
import type { ConnectionOptions } from 'mysql2';

/** A packet as the library's parser hands it on; its buffer is reused after the call. */
export interface ReceivedPacket {
  buffer: Buffer;
  start: number;
  end: number;
  sequenceId: number;
  numPackets: number;
}

/** What a client sent with its credentials. */
export interface Credentials {
  user: string;
  authPluginData1: Buffer;
  authPluginData2: Buffer;
  authToken: Buffer;
}

/** The part of the library's server connection that is used; its own types leave most of it out. */
export interface ServerConnection extends EventEmitter {
  stream: Socket;
  clientHelloReply: { clientFlags: number };
  handlePacket: (packet: ReceivedPacket) => void;
  serverHandshake: (options: {
    protocolVersion: number;
    serverVersion: string;
    connectionId: number;
    statusFlags: number;
    characterSet: number;
    capabilityFlags: number;
    authCallback: (credentials: Credentials) => void;
  }) => void;
}

/**
 * Puts the library's server half on an accepted socket. The library sets memory aside for the prepared
 * statements of a client, about half a megabyte by default, which a server never uses.
 */
export function createServerConnection(stream: Socket): ServerConnection {
  const options = { stream, isServer: true, maxPreparedStatements: 1 } as ConnectionOptions;
  return createConnection(options) as unknown as ServerConnection;
}
