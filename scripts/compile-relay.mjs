// Sends one request over a stream between instances, and writes the code that was compiled for it to
// target/relayLibrary.cache.
import { writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { resolve } from 'node:path';

const HOST = '127.0.0.1';

const createResponse = (number) => ({
  number,
  isLeaving: false,
  version: 1,
  configurationJson: '',
  isOutOfReach: false,
  isConfigurationCurrent: true,
});

const { createRelayClient, createRelayServer, getCompiledCode } = createRequire(import.meta.url)(
  resolve('target/relay.cjs'),
);

const server = createRelayServer({
  host: HOST,
  port: 0,
  accept: (respond) => {
    respond(createResponse(0));
    return { onRequest: ({ number }) => respond(createResponse(number)), onEnd: () => undefined };
  },
});

const port = await server.start();
const stream = createRelayClient().open(`${HOST}:${port}`, {
  onResponse: ({ number }) => {
    if (number === 0) {
      stream.send({
        number: 1,
        rolledBackTransaction: 0,
        wantsConfiguration: false,
        configurationJson: '',
      });
      return;
    }
    writeFileSync('target/relayLibrary.cache', getCompiledCode());
    process.exit(0);
  },
  onLost: (error) => {
    throw error;
  },
});
