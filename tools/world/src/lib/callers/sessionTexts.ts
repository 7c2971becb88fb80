import type { DrawnTexts } from '@wisterialift/fuzz';
import type { CallerStatement, PreparedStatement } from '@wisterialift/pooling';

/** What a session set and prepared before its first operation. @internal */
export interface SessionTexts {
  values: ReadonlyMap<string, string>;
  /** Shapes that differ in access, or at their end. */
  prepared: Record<'read' | 'write', PreparedStatement & { name: string }>;
}

/** @internal */
export function drawSessionTexts({ word, text }: DrawnTexts): SessionTexts {
  const shape = `q29 ${text()}`;
  return {
    values: new Map([
      [word(), text()],
      ['__proto__', text()],
    ]),
    prepared: {
      read: { name: `r${word()}`, access: 'read', shape },
      write: { name: `w${word()}`, access: 'write', shape },
    },
  };
}

/** The statements that bring a session into that state. @internal */
export function listPreparations({ values, prepared }: SessionTexts): CallerStatement[] {
  const base = { id: 'preparation', text: '' };
  return [
    ...[...values].map(([name, value]) => ({ ...base, type: 'set' as const, name, value })),
    ...Object.values(prepared).map((statement) => ({
      ...base,
      ...statement,
      type: 'prepare' as const,
    })),
  ];
}
