import { z } from 'zod';

const hostSchema = z.string().min(1);
const portSchema = z.number().int().min(0).max(65_535);
const pathSchema = z.string().min(1);

const listenerSchema = z.strictObject({
  host: hostSchema.default('127.0.0.1'),
  /** 0 lets the system choose a free port, which the log then names. */
  port: portSchema,
});

const tlsSchema = z.strictObject({
  certificate: pathSchema,
  key: pathSchema,
  /** Authority that must have signed the certificate of the other side. */
  authority: pathSchema.optional(),
});

/**
 * The settings of one process, read from a TOML file.
 *
 * @public
 */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower case letters, digits, hyphens'),
    dataCentre: z.string().min(1),
    region: z.string().min(1),
  }),
  callers: listenerSchema,
  peers: listenerSchema.extend({
    /** `host:port` of other instances, asked for the configuration while the platform is down. */
    seeds: z.array(z.string().regex(/^.+:\d{1,5}$/, 'host:port')).default([]),
  }),
  administration: listenerSchema.extend({
    /** Bearer token that operators present. */
    token: z.string().min(8),
  }),
  platform: z.strictObject({
    /** Base address of the object API, for example `http://127.0.0.1:7000`. */
    address: z.url({ protocol: /^https?$/ }),
    timeoutMilliseconds: z.number().int().min(50).max(60_000).default(2_000),
    /** Longest time that one watch call waits. */
    watchMilliseconds: z.number().int().min(100).max(300_000).default(30_000),
    /** Pause between polls of an instance that does not watch. */
    pollMilliseconds: z.number().int().min(100).max(300_000).default(5_000),
  }),
  limits: z
    .strictObject({
      /** Requests that may wait for a database of one group. */
      queueLength: z.number().int().min(1).max(1_000_000).default(1_000),
      /** Largest packet accepted from a caller, in bytes. */
      maximumPacketBytes: z.number().int().min(1_024).max(1_073_741_824).default(16_777_216),
      /** Time that a graceful stop waits for requests and transactions in flight. */
      drainMilliseconds: z.number().int().min(0).max(3_600_000).default(30_000),
      /** Retries in proportion to first tries. */
      retryShare: z.number().min(0).max(1).default(0.1),
    })
    .prefault({}),
  failover: z
    .strictObject({
      /** Pause between status questions to a member while nothing waits. */
      probeIntervalMilliseconds: z.number().int().min(10).max(60_000).default(100),
      /** The same for a group that nobody uses and with which nothing is wrong. */
      idleProbeIntervalMilliseconds: z.number().int().min(10).max(60_000).default(1_000),
      /** A member that has not answered for this long counts as silent. */
      suspicionMilliseconds: z.number().int().min(20).max(60_000).default(400),
    })
    .prefault({}),
  log: z
    .strictObject({ level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info') })
    .prefault({}),
  tls: z.strictObject({ callers: tlsSchema.optional(), peers: tlsSchema.optional() }).prefault({}),
});

/** @public */
export type Settings = z.infer<typeof settingsSchema>;
