import { z } from 'zod';
import { configurationSchema } from './configuration';

/** Kind and name of the platform object that holds the shared configuration. @public */
export const CONFIGURATION_OBJECT = { kind: 'configuration', name: 'wisterialift' } as const;

/** Accepted patches that the object remembers, so that a lost answer can be settled. @public */
export const REMEMBERED_PATCHES = 256;

/** One accepted patch. @public */
export const acceptedPatchSchema = z.strictObject({
  patchId: z.string().min(1).max(128),
  /** Configuration number that the patch brought into force. */
  number: z.number().int().positive(),
  author: z.string(),
  /** ISO 8601 time at the instance that submitted the patch; for people only. */
  acceptedAt: z.string(),
});

/** @public */
export type AcceptedPatch = z.infer<typeof acceptedPatchSchema>;

/**
 * The numbered configuration as the platform keeps it. Numbers rise by one with each accepted patch.
 *
 * @public
 */
export const configurationObjectSchema = z.strictObject({
  number: z.number().int().nonnegative(),
  configuration: configurationSchema,
  /** Newest last, at most {@link REMEMBERED_PATCHES}. */
  patches: z.array(acceptedPatchSchema),
});

/** @public */
export type ConfigurationObject = z.infer<typeof configurationObjectSchema>;

/**
 * What an operator submits: an RFC 7396 merge patch against a numbered configuration.
 *
 * @public
 */
export const configurationPatchSchema = z.strictObject({
  patchId: z.string().min(1).max(128),
  /** Number of the configuration that the patch was made against. */
  againstNumber: z.number().int().nonnegative(),
  author: z.string().min(1).max(128),
  /** JSON merge patch (RFC 7396) on the configuration. */
  changes: z.record(z.string(), z.unknown()),
});

/** @public */
export type ConfigurationPatch = z.infer<typeof configurationPatchSchema>;
