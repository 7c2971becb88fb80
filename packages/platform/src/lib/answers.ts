import { instanceSchema } from '@wisterialift/schema';
import { z } from 'zod';

const versionSchema = z.number().int().nonnegative();

/** An object of the platform; its value is checked by whoever knows its kind. @public */
export const platformObjectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: versionSchema,
  value: z.unknown(),
});

/** @public */
export type PlatformObject = z.infer<typeof platformObjectSchema>;

/** Answer to a conditional update, stored or in conflict. */
export const versionAnswerSchema = z.object({ version: versionSchema });

/**
 * Answer to the question for the instance list. Fields that this version does not know are left out:
 * instances of two versions stand in one list while a fleet is replaced.
 */
export const instancesAnswerSchema = z.object({
  instances: z.array(z.object(instanceSchema.shape)),
});
