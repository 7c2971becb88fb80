import {
  DEFAULT_REQUEST_KIND,
  lookUp,
  requestKindSchema,
  type Configuration,
  type RequestKind,
} from '@wisterialift/schema';

const defaultKind: RequestKind = requestKindSchema.parse({});

/** @returns the settings of a request kind, or undefined if it is not configured. @internal */
export function findKind({ kinds }: Configuration, name: string): RequestKind | undefined {
  return lookUp(kinds, name) ?? (name === DEFAULT_REQUEST_KIND ? defaultKind : undefined);
}
