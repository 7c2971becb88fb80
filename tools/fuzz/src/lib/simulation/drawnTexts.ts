import type { Random } from './random';

/** Texts as callers may choose them; none is a word that the protocol would end or split. @public */
export const WORD_PIECES = [
  's1',
  's2',
  'q29',
  'lamp-1',
  'READ',
  'WRITE',
  'QUERY',
  'AFTER',
  '3.1',
  'PREPARE',
  'EXECUTE',
  'COMMIT',
  '-',
  '__proto__',
  'constructor',
  'toString',
  "'",
  '"',
  '`',
  '/*',
  '--',
  ';',
  '\\',
  '%',
  '\t',
  '\0',
  '\r',
  '\n',
  '\u0080',
  '\u00e9',
  '\u00ff',
] as const;

/** Pieces of texts with blanks; the empty one leads, doubles or trails one. @public */
export const TEXT_PIECES = ['', ...WORD_PIECES] as const;

/** Draws texts that callers may send, and that a line or a statement may be read otherwise for. @public */
export interface DrawnTexts {
  /** Without a blank, and not empty. */
  word: () => string;
  /** A word without control characters, which no line refuses. */
  name: () => string;
  /** With blanks anywhere; may be empty. */
  text: () => string;
}

const MOST_PIECES = 4;

const NAME_PIECES = WORD_PIECES.filter((piece) => /^[!-~\u0080-\u00ff]+$/.test(piece));

/** Joins pieces; a line break of the protocol would end the line. @public */
export function joinPieces(pieces: readonly string[], separator: '' | ' '): string {
  return pieces.join(separator).replace(/\r+\n/g, '\n');
}

/** @public */
export function createDrawnTexts(random: Random): DrawnTexts {
  const draw = (pieces: readonly string[], most: number) =>
    Array.from({ length: random.between(1, most) }, () => random.pick(pieces));

  return {
    word: () => joinPieces(draw(WORD_PIECES, 2), ''),
    name: () => joinPieces(draw(NAME_PIECES, 2), ''),
    text: () => joinPieces(draw(TEXT_PIECES, MOST_PIECES), ' '),
  };
}
