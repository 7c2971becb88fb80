import type { RelayRequest, RelayStreamEvents } from '@wisterialift/peer/relay';
import { describe, expect, it } from 'vitest';
import { createProcessClock } from '../lib/ports/clock';
import { createPeerLink } from '../lib/relay/peerLink';

const clock = createProcessClock();

/** Creates a link to an instance that passes each request to `onRequest`. */
function createLink(onRequest: (request: RelayRequest, events: RelayStreamEvents) => void) {
  const losses: string[] = [];
  const link = createPeerLink({
    transport: {
      open: (_, events) => {
        setImmediate(() => events.onResponse(createResponse(0)));
        return {
          send: (request) => setImmediate(() => onRequest(request, events)),
          close: () => undefined,
        };
      },
      listen: () => undefined,
      hasUnsentData: () => false,
      close: () => undefined,
    },
    address: 'holder:1',
    clock,
    onOpen: () => undefined,
    onVersion: () => undefined,
    onLost: ({ message }) => losses.push(message),
  });
  return { link, losses };
}

function createResponse(number: number, isLeaving = false) {
  return {
    number,
    isLeaving,
    answer: undefined,
    version: 3,
    configurationJson: '',
    isOutOfReach: false,
    permits: undefined,
    probedLogEnd: undefined,
    load: undefined,
    isConfigurationCurrent: true,
  };
}

const getDistantDeadline = () => clock.now() + 3_600_000;

describe('a relay stream', () => {
  it('is closed if the other instance does not answer', async () => {
    // Guards against waiting for the statement time limit after a holder lost power without closing
    // its connections.
    const { link, losses } = createLink(() => undefined);
    expect(await link.request({ wantsConfiguration: true }, getDistantDeadline())).toEqual({
      type: 'lost',
    });
    expect(losses).toEqual(['liveness probe timed out: holder:1 has gone silent']);
    expect(await link.request({ wantsConfiguration: true }, getDistantDeadline())).toEqual({
      type: 'notSent',
    });
  });

  it('stays open if the other instance is slow but answers probes', async () => {
    const { link, losses } = createLink(({ number, wantsConfiguration }, { onResponse }) => {
      if (!wantsConfiguration) onResponse(createResponse(number));
    });
    const answerBy = clock.now() + 1_500;
    expect(await link.request({ wantsConfiguration: true }, answerBy)).toEqual({ type: 'lost' });
    expect(losses).toEqual([]);
    expect(link.isUsable()).toBe(true);
    link.close();
  });

  it('accepts no new statements once the other instance is stopping', async () => {
    const { link } = createLink(({ number }, { onResponse }) =>
      onResponse(createResponse(number, true)),
    );
    await link.request({}, getDistantDeadline());
    expect(link.isUsable()).toBe(false);
    link.close();
  });
});
