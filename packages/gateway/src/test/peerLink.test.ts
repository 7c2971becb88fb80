import type { RelayRequest, RelayStreamEvents } from '@wisterialift/peer/relay';
import { describe, expect, it } from 'vitest';
import { createProcessClock } from '../lib/ports/clock';
import { createPeerLink } from '../lib/relay/peerLink';

const clock = createProcessClock();

/** A link to an instance that does with each request what the test says. */
function createLink(onRequest: (request: RelayRequest, events: RelayStreamEvents) => void) {
  const losses: string[] = [];
  const link = createPeerLink({
    transport: {
      open: (_, events) => {
        setImmediate(() => events.onResponse(responseOf(0)));
        return {
          send: (request) => setImmediate(() => onRequest(request, events)),
          close: () => undefined,
        };
      },
      listen: () => undefined,
      close: () => undefined,
    },
    address: 'holder:1',
    clock,
    onOpen: () => undefined,
    onLost: ({ message }) => losses.push(message),
  });
  return { link, losses };
}

function responseOf(number: number, isLeaving = false) {
  return { number, isLeaving, answer: undefined, version: 3, configurationJson: '' };
}

const inAnHour = () => clock.now() + 3_600_000;

describe('a stream to another instance', () => {
  it('is given up where the other one goes silent', async () => {
    // Callers waited for the whole time limit of their statements.
    // The machine of a holder had lost power: its connections neither answered nor broke.
    const { link, losses } = createLink(() => undefined);
    expect(await link.ask({ wantsConfiguration: true }, inAnHour())).toEqual({ type: 'lost' });
    expect(losses).toEqual(['holder:1 has gone silent']);
    expect(await link.ask({ wantsConfiguration: true }, inAnHour())).toEqual({ type: 'notSent' });
  });

  it('is kept where the other one is slow and answers that it lives', async () => {
    const { link, losses } = createLink(({ number, wantsConfiguration }, { onResponse }) => {
      if (!wantsConfiguration) onResponse(responseOf(number));
    });
    const answerBy = clock.now() + 1_500;
    expect(await link.ask({ wantsConfiguration: true }, answerBy)).toEqual({ type: 'lost' });
    expect(losses).toEqual([]);
    expect(link.isUsable()).toBe(true);
    link.close();
  });

  it('takes no new statements of this instance once the other one is about to stop', async () => {
    const { link } = createLink(({ number }, { onResponse }) =>
      onResponse(responseOf(number, true)),
    );
    await link.ask({}, inAnHour());
    expect(link.isUsable()).toBe(false);
    link.close();
  });
});
