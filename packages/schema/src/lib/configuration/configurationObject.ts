import { z } from 'zod';
import { configurationSchema, upstreamGroupSchema } from './configuration';

/** Kind and name of the platform object that stores the shared configuration. @public */
export const CONFIGURATION_OBJECT = { kind: 'configuration', name: 'wisterialift' } as const;

/**
 * Number of accepted patches kept in the object, so that a client that lost the answer to its patch
 * can look it up.
 *
 * @public
 */
export const MAXIMUM_RETAINED_PATCHES = 256;

/** Record of an accepted patch. @public */
export const acceptedPatchSchema = z.strictObject({
  patchId: z.string().min(1).max(128),
  /** Number of the configuration that the patch created. */
  number: z.number().int().positive(),
  author: z.string(),
  /** ISO 8601 time on the instance that submitted the patch; informational only. */
  acceptedAt: z.string(),
});

/** @public */
export type AcceptedPatch = z.infer<typeof acceptedPatchSchema>;

/** What is kept of a removed group, so that adding it again is no way round the rules for its members. @public */
export const removedGroupSchema = upstreamGroupSchema.pick({ databases: true, memberSet: true });

/** @public */
export type RemovedGroup = z.infer<typeof removedGroupSchema>;

/**
 * The numbered configuration as stored on the platform; each accepted patch increments the number.
 *
 * @public
 */
export const configurationObjectSchema = z.strictObject({
  number: z.number().int().nonnegative(),
  configuration: configurationSchema,
  /** Oldest first, at most {@link MAXIMUM_RETAINED_PATCHES}. */
  patches: z.array(acceptedPatchSchema),
  /** By name; a group that is added again leaves the list. */
  removedGroups: z.record(z.string(), removedGroupSchema).optional(),
});

/** @public */
export type ConfigurationObject = z.infer<typeof configurationObjectSchema>;

/**
 * A configuration change submitted by an operator.
 *
 * @public
 */
export const configurationPatchSchema = z.strictObject({
  patchId: z.string().min(1).max(128),
  /** Number of the configuration that the patch is based on. */
  againstNumber: z.number().int().nonnegative(),
  author: z.string().min(1).max(128),
  /** JSON merge patch (RFC 7396) to apply to the configuration. */
  changes: z.record(z.string(), z.unknown()),
});

/** @public */
export type ConfigurationPatch = z.infer<typeof configurationPatchSchema>;
