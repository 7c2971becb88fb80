import {
  DEFAULT_REQUEST_KIND,
  requestKindSchema,
  type Configuration,
  type RequestKind,
} from '@wisterialift/schema';

const defaultKind: RequestKind = requestKindSchema.parse({});

/** @returns the settings of a request kind, or undefined if it is not configured. @internal */
export function findKind({ kinds }: Configuration, name: string): RequestKind | undefined {
  if (Object.hasOwn(kinds, name)) return kinds[name];
  return name === DEFAULT_REQUEST_KIND ? defaultKind : undefined;
}
