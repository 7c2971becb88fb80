import { z } from 'zod';

const hostSchema = z.string().min(1);
const portSchema = z.number().int().min(0).max(65_535);
const pathSchema = z.string().min(1);

const listenerSchema = z.strictObject({
  host: hostSchema.default('127.0.0.1'),
  /** 0 selects a free port, which is written to the log. */
  port: portSchema,
});

const tlsSchema = z.strictObject({
  certificate: pathSchema,
  key: pathSchema,
  /** Certificate authority that must have signed the certificate of the remote side. */
  authority: pathSchema.optional(),
});

/**
 * Settings of one process, read from a TOML file.
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
    /** `host:port` of instances that supply the configuration while the platform is unavailable. */
    seeds: z.array(z.string().regex(/^.+:\d{1,5}$/, 'host:port')).default([]),
  }),
  administration: listenerSchema.extend({
    /** Bearer token required from operators. */
    token: z.string().min(8),
  }),
  platform: z.strictObject({
    /** Base URL of the object API, for example `http://127.0.0.1:7000`. */
    address: z.url({ protocol: /^https?$/ }),
    timeoutMilliseconds: z.number().int().min(50).max(60_000).default(2_000),
    /** Maximum duration of one watch call. */
    watchMilliseconds: z.number().int().min(100).max(300_000).default(30_000),
    /** Interval between polls of an instance that does not watch. */
    pollMilliseconds: z.number().int().min(100).max(300_000).default(5_000),
  }),
  limits: z
    .strictObject({
      /** Maximum length of each request queue of a group; reads and writes queue separately. */
      queueLength: z.number().int().min(1).max(1_000_000).default(1_000),
      /** Maximum size of a packet accepted from a caller. */
      maximumPacketBytes: z.number().int().min(1_024).max(1_073_741_824).default(16_777_216),
      /** Time that a graceful shutdown waits for requests and transactions in flight. */
      drainMilliseconds: z.number().int().min(0).max(3_600_000).default(30_000),
      /** Maximum number of retries as a fraction of first attempts. */
      retryShare: z.number().min(0).max(1).default(0.1),
    })
    .prefault({}),
  failover: z
    .strictObject({
      /**
       * Interval between status requests to a member of a group that is in use or not healthy, while
       * no caller's request waits for an answer.
       */
      probeIntervalMilliseconds: z.number().int().min(10).max(60_000).default(100),
      /** Interval between status requests to a member of a healthy group without recent requests. */
      idleProbeIntervalMilliseconds: z.number().int().min(10).max(60_000).default(1_000),
      /** Time without an answer after which a member is suspected to have failed. */
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
