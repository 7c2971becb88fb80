/** An order of a change of primary to one member. @internal */
export type ControlOrder =
  | { type: 'fence'; member: string; term: number }
  | { type: 'promote'; member: string; term: number }
  | { type: 'follow'; member: string; term: number; primary: string };
