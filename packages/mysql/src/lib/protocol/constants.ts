/** Capability flags of the MySQL protocol. @internal */
export const capability = {
  longPassword: 0x0000_0001,
  foundRows: 0x0000_0002,
  longFlag: 0x0000_0004,
  connectWithDatabase: 0x0000_0008,
  protocol41: 0x0000_0200,
  tls: 0x0000_0800,
  transactions: 0x0000_2000,
  reserved: 0x0000_4000,
  secureConnection: 0x0000_8000,
  multipleResults: 0x0002_0000,
  multipleResultsOfPrepared: 0x0004_0000,
  authenticationPlugin: 0x0008_0000,
  connectAttributes: 0x0010_0000,
  authenticationDataLength: 0x0020_0000,
  sessionTrack: 0x0080_0000,
} as const;

/** Status flags in OK and EOF packets. @public */
export const serverStatus = {
  inTransaction: 0x0001,
  autocommit: 0x0002,
  moreResults: 0x0008,
  sessionStateChanged: 0x4000,
} as const;

/** First byte of a command. @internal */
export const commandCode = {
  quit: 0x01,
  initDatabase: 0x02,
  query: 0x03,
  ping: 0x0e,
  prepare: 0x16,
  execute: 0x17,
  sendLongData: 0x18,
  closeStatement: 0x19,
  resetStatement: 0x1a,
  resetConnection: 0x1f,
} as const;

/** First byte of a response packet. @internal */
export const marker = { ok: 0x00, localFile: 0xfb, eof: 0xfe, error: 0xff } as const;

/** Kinds of session-track entries. @internal */
export const sessionTrackType = { systemVariable: 0, gtids: 3 } as const;

/** Column types of the protocol. @internal */
export const columnType = { variableString: 0xfd } as const;

/** Id of utf8mb4_general_ci, the collation of all connections. @internal */
export const UTF8MB4_COLLATION = 45;

/** Size of a frame header: payload length and sequence number. @internal */
export const HEADER_BYTES = 4;

/** Payloads of this size or more are continued in the next frame. @internal */
export const MAXIMUM_FRAME_PAYLOAD_BYTES = 0xff_ffff;
