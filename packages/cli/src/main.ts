import { randomUUID } from 'node:crypto';
import { readFile, writeFile } from 'node:fs/promises';
import { runProxyProcess } from '@wisterialift/proxy';
import { runProgram } from './lib/runProgram';

/** Entry point of the executable. */
async function main(): Promise<void> {
  process.exitCode = await runProgram({
    programArguments: process.argv.slice(2),
    writeError: (text) => process.stderr.write(text),
    context: {
      write: (text) => process.stdout.write(text),
      environment: process.env,
      readFile: (path) => readFile(path, 'utf8'),
      writeFile,
      now: Date.now,
      createId: randomUUID,
      runProxy: runProxyProcess,
    },
  });
}

void main();
