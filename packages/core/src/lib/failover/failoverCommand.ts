import type { Position } from '@wisterialift/schema';

/** A command to one member during a failover. @internal */
export type FailoverCommand =
  | { type: 'fence'; member: string; term: number }
  | { type: 'promote'; member: string; term: number }
  | { type: 'follow'; member: string; term: number; primary: string }
  | {
      type: 'nameVoters';
      member: string;
      term: number;
      after: Position;
      incarnations: Record<string, string>;
    };
