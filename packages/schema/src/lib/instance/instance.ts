import { z } from 'zod';

/** @public */
export const instanceStateSchema = z.enum(['live', 'leaving']);

/**
 * An entry of the platform's list of instances, which may be outdated.
 *
 * @public
 */
export const instanceSchema = z.strictObject({
  name: z.string().min(1),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
  /** `host:port` of the gRPC service that other instances call. */
  peerAddress: z.string().min(1),
  /** `host:port` of the administration API. */
  administrationAddress: z.string().min(1),
  state: instanceStateSchema,
});

/** @public */
export type Instance = z.infer<typeof instanceSchema>;
