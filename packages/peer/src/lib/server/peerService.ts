import { status } from '@grpc/grpc-js';
import type { handleUnaryCall } from '@grpc/grpc-js';
import type { PeerServiceServer } from '../../generated/wisterialift/peer/v1/peer';
import { encodeAge } from '../ageOnWire';
import { createListWriter } from './listDigest';
import { NO_CONFIGURATION_NUMBER } from '../peerMessages';
import type { HeldConfiguration, PeerHandlers } from '../peerMessages';

/**
 * Turns the messages of the protocol into calls of the handlers.
 *
 * Several watchers announce the same configuration; only the first is read and checked.
 */
export function createPeerService(handlers: PeerHandlers): PeerServiceServer {
  const writeList = createListWriter();
  return {
    announceConfiguration: answerWith(({ number, configurationObjectJson }) => {
      const heldNumber = numberOf(handlers.onConfigurationRequested());
      if (number <= heldNumber) return { number: heldNumber };
      return { number: handlers.onConfigurationAnnounced(JSON.parse(configurationObjectJson)) };
    }),
    fetchConfiguration: answerWith(({ aboveNumber }) => {
      const held = handlers.onConfigurationRequested();
      const number = numberOf(held);
      const isNews = number > aboveNumber;
      return {
        number,
        configurationObjectJson: isNews ? JSON.stringify(held.configurationObject) : '',
        ageMilliseconds: encodeAge(held.ageMilliseconds),
      };
    }),
    fetchInstances: answerWith(({ knownDigest }) => {
      const { instances, ageMilliseconds } = handlers.onInstancesRequested();
      const { json, digest } = writeList(instances);
      return {
        instancesJson: digest === knownDigest ? '' : json,
        ageMilliseconds: encodeAge(ageMilliseconds),
        digest,
      };
    }),
    announcePrimary: answerWith((published) => {
      handlers.onPrimaryPublished(published);
      return {};
    }),
    announceLeaving: answerWith(({ instance }) => {
      handlers.onLeavingAnnounced(instance);
      return {};
    }),
    ping: answerWith(() => handlers.onPing()),
  };
}

function numberOf({ configurationObject }: HeldConfiguration): number {
  return configurationObject?.number ?? NO_CONFIGURATION_NUMBER;
}

/** A message that cannot be understood is answered with an error and ends nothing but its call. */
function answerWith<Request, Answer>(
  answer: (request: Request) => Answer,
): handleUnaryCall<Request, Answer> {
  return (call, callback) => {
    try {
      callback(null, answer(call.request));
    } catch (error) {
      const details = error instanceof Error ? error.message : 'the message is not understood';
      callback({ code: status.INVALID_ARGUMENT, details });
    }
  };
}
