import {
  DEFAULT_KIND,
  requestKindSchema,
  type Configuration,
  type RequestKind,
} from '@wisterialift/schema';

const defaultKind: RequestKind = requestKindSchema.parse({});

/** How requests of a kind are served; undefined where the configuration has no such kind. @internal */
export function findKind({ kinds }: Configuration, name: string): RequestKind | undefined {
  if (Object.hasOwn(kinds, name)) return kinds[name];
  return name === DEFAULT_KIND ? defaultKind : undefined;
}
