import type { DrawnTexts } from '@wisterialift/fuzz';

/** What a session sets and prepares before its operations. */
export interface Preparation {
  statements: string[];
  readName: string;
  writeName: string;
}

export function drawPreparation({ name, word, text }: DrawnTexts): Preparation {
  const readName = `r${word()}`;
  const writeName = `w${word()}`;
  const shape = `q29 ${text()}`;
  return {
    readName,
    writeName,
    statements: [
      `SET ${name()} ${text()}`,
      'SET __proto__ x',
      `PREPARE ${readName} READ ${shape}`,
      `PREPARE ${writeName} WRITE ${shape}`,
      `PREPARE ${writeName} WRITE q29 ${text()}`,
    ],
  };
}
