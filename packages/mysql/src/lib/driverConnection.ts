import type { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';

/** A packet as the driver's parser hands it on; the same object is used for the next one. @internal */
export interface DriverPacket {
  sequenceId: number;
  /** Frames that the packet came in. */
  numPackets: number;
  /** Holds the packet from `start`, where its header begins, to `end`. */
  buffer: Buffer;
  start: number;
  end: number;
}

/** A command of the driver's queue; the driver calls `execute` without a packet to start it. @internal */
export interface DriverCommand {
  /** @returns true once the command has ended. */
  execute: (packet: DriverPacket | undefined) => boolean;
  /** Called when the connection breaks. */
  onResult: (error: Error) => void;
}

/** Login of a client, as the driver's server half read it. @internal */
export interface DriverLogin {
  user: string;
  database?: string;
  authPluginData1: Buffer;
  authPluginData2: Buffer;
  authToken: Buffer | string;
}

/** @internal */
export interface DriverHandshake {
  protocolVersion: number;
  serverVersion: string;
  connectionId: number;
  statusFlags: number;
  characterSet: number;
  capabilityFlags: number;
  authCallback: (login: DriverLogin) => void;
}

/**
 * What the proxy uses of a mysql2 connection on both sides, besides its typed interface.
 *
 * mysql2 has the framing, the handshakes and a queue of commands; its types leave out the parts that a
 * server, or a client that passes raw packets on, needs. They are named here alone, so that a new
 * version of the library is checked in one place (the tests of the package use every one).
 *
 * @internal
 */
export interface DriverConnection extends EventEmitter {
  stream: Socket;
  sequenceId: number;
  clientHelloReply?: { clientFlags: number };
  packetParser: { execute: (chunk: Buffer) => void };
  handlePacket: (packet?: DriverPacket) => void;
  addCommand: (command: DriverCommand) => void;
  serverHandshake: (handshake: DriverHandshake) => void;
}

const HEADER_BYTES = 4;

/** Payload of a packet, without a copy. @internal */
export function payloadOf({ buffer, start, end }: DriverPacket): Buffer {
  return buffer.subarray(start + HEADER_BYTES, end);
}
