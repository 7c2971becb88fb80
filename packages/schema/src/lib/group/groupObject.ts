import { z } from 'zod';

/** Kind of the platform objects that publish the primary of each group. @public */
export const GROUP_OBJECT_KIND = 'group';

/** The primary of a group as published by the promoting instance; informational only. @public */
export const groupObjectSchema = z.strictObject({
  group: z.string(),
  term: z.number().int().nonnegative(),
  primary: z.string(),
  promotedBy: z.string(),
});

/** @public */
export type GroupObject = z.infer<typeof groupObjectSchema>;
