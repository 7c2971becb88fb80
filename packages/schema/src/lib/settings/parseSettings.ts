import { parse, TomlError } from 'smol-toml';
import type { z } from 'zod';
import { settingsSchema } from './settings';
import type { Settings } from './settings';

/** An invalid entry of a settings file. @public */
export interface SettingsIssue {
  /** Dotted path of the key; empty if the file as a whole is invalid. */
  key: string;
  reason: string;
}

/** Thrown for an invalid settings file; lists every issue. @public */
export class SettingsError extends Error {
  readonly file: string;

  readonly issues: readonly SettingsIssue[];

  constructor(file: string, issues: readonly SettingsIssue[]) {
    super(issues.map(({ key, reason }) => `${file}: ${key || '(file)'}: ${reason}`).join('\n'));
    this.name = 'SettingsError';
    this.file = file;
    this.issues = issues;
  }
}

/**
 * Parses and validates the text of a settings file.
 *
 * @param options.file - file name for messages; the file is not read.
 * @param options.text - content in TOML.
 * @throws SettingsError with every issue found.
 * @public
 */
export function parseSettings(options: { file: string; text: string }): Settings {
  const { file, text } = options;
  const result = settingsSchema.safeParse(parseToml(file, text));
  if (result.success) return result.data;
  throw new SettingsError(file, result.error.issues.flatMap(describeIssue));
}

function parseToml(file: string, text: string): unknown {
  try {
    return parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const reason = `line ${error.line}, column ${error.column}: ${error.message.split('\n')[0]}`;
    throw new SettingsError(file, [{ key: '', reason }]);
  }
}

/** Converts a validation issue to settings issues, one for each unknown key. */
function describeIssue(issue: z.core.$ZodIssue): SettingsIssue[] {
  const path = issue.path.join('.');
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      key: path ? `${path}.${key}` : key,
      reason: 'unknown key',
    }));
  }
  return [{ key: path, reason: issue.message }];
}
