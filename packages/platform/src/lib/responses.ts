import { instanceSchema } from '@wisterialift/schema';
import { z } from 'zod';

const versionSchema = z.number().int().nonnegative();

/** An object of the platform; its value is validated by the reader of that kind. @public */
export const platformObjectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: versionSchema,
  value: z.unknown(),
});

/** @public */
export type PlatformObject = z.infer<typeof platformObjectSchema>;

/** Response to a conditional update, whether stored or in conflict. */
export const versionResponseSchema = z.object({ version: versionSchema });

/** The list of instances; strips unknown fields, which newer versions may add during an upgrade. */
export const instancesResponseSchema = z.object({
  instances: z.array(z.object(instanceSchema.shape)),
});
