import type { TeamEntry } from '@wisterialift/stand-in-line-platform';

/** Teams of the soak's callers; their limits are never reached. */
export const SOAK_TEAMS: [TeamEntry, TeamEntry] = [
  { name: 'north', keys: ['north-key'] },
  { name: 'south', keys: ['south-key'] },
];

/** Team of a caller, by the number that ends its name. */
export function teamOfCaller(name: string): TeamEntry {
  return SOAK_TEAMS[Number(name.at(-1)) % SOAK_TEAMS.length]!;
}
