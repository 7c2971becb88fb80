import type { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';

/** A packet of the driver's parser, which reuses the object for the next packet. @internal */
export interface DriverPacket {
  sequenceId: number;
  /** Number of frames that the packet consisted of. */
  numPackets: number;
  /** Contains the packet from `start`, where its header begins, to `end`. */
  buffer: Buffer;
  start: number;
  end: number;
}

/** A command in the driver's queue, started by `execute` without a packet. @internal */
export interface DriverCommand {
  /** @returns true once the command has ended. */
  execute: (packet: DriverPacket | undefined) => boolean;
  /** Called when the connection fails. */
  onResult: (error: Error) => void;
}

/** Login of a client, as parsed by the driver's server side. @internal */
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
 * The members of a mysql2 connection that the proxy uses but the library does not declare.
 *
 * All of them are declared here, so that a new version of the library is checked in one place.
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

/** Returns the payload of a packet without copying it. @internal */
export function getPayload({ buffer, start, end }: DriverPacket): Buffer {
  return buffer.subarray(start + HEADER_BYTES, end);
}
