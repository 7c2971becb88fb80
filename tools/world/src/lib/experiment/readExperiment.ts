import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { z } from 'zod';
import { experimentSchema } from './experimentSchema';
import type { Experiment } from './experimentSchema';

/** An experiment's file cannot be played; the message names the file and the key. @public */
export class ExperimentFileError extends Error {
  override readonly name = 'ExperimentFileError';
}

/** @throws ExperimentFileError @public */
export function readExperiment(path: string): Experiment {
  const result = experimentSchema.safeParse(parseFile(path));
  if (result.success) return result.data;
  throw new ExperimentFileError(`${path}: ${describe(result.error)}`);
}

function parseFile(path: string): unknown {
  try {
    return parse(readFileSync(path, 'utf8'));
  } catch (error) {
    throw new ExperimentFileError(`${path}: ${(error as Error).message}`, { cause: error });
  }
}

function describe({ issues }: z.ZodError): string {
  return issues.map(({ path, message }) => `${path.join('.') || 'file'}: ${message}`).join('; ');
}
