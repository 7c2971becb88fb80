import { status } from '@grpc/grpc-js';
import type { handleUnaryCall } from '@grpc/grpc-js';
import type { PeerServiceServer } from '../../generated/wisterialift/peer/v1/peer';
import { encodeAge } from '../ageEncoding';
import { createListEncoder } from './listEncoder';
import { NO_CONFIGURATION_NUMBER } from '../peerMessages';
import type { HeldConfiguration, PeerHandlers } from '../peerMessages';

/**
 * Dispatches messages to the handlers. Announcements of a configuration that is not newer are not
 * parsed.
 */
export function createPeerService(handlers: PeerHandlers): PeerServiceServer {
  const encodeList = createListEncoder();
  return {
    announceConfiguration: createUnaryHandler(({ number, configurationObjectJson }) => {
      const activeNumber = getConfigurationNumber(handlers.onConfigurationRequested());
      if (number <= activeNumber) return { number: activeNumber };
      return { number: handlers.onConfigurationAnnounced(JSON.parse(configurationObjectJson)) };
    }),
    fetchConfiguration: createUnaryHandler(({ aboveNumber }) => {
      const held = handlers.onConfigurationRequested();
      const number = getConfigurationNumber(held);
      const isNewer = number > aboveNumber;
      return {
        number,
        configurationObjectJson: isNewer ? JSON.stringify(held.configurationObject) : '',
        ageMilliseconds: encodeAge(held.ageMilliseconds),
      };
    }),
    fetchInstances: createUnaryHandler(({ knownDigest }) => {
      const { instances, ageMilliseconds } = handlers.onInstancesRequested();
      const { json, digest } = encodeList(instances);
      return {
        instancesJson: digest === knownDigest ? '' : json,
        ageMilliseconds: encodeAge(ageMilliseconds),
        digest,
      };
    }),
    announcePrimary: createUnaryHandler((published) => {
      handlers.onPrimaryPublished(published);
      return {};
    }),
    announceLeaving: createUnaryHandler(({ instance }) => {
      handlers.onLeavingAnnounced(instance);
      return {};
    }),
    ping: createUnaryHandler(() => handlers.onPing()),
  };
}

function getConfigurationNumber({ configurationObject }: HeldConfiguration): number {
  return configurationObject?.number ?? NO_CONFIGURATION_NUMBER;
}

/** Wraps a handler; an exception rejects its call with INVALID_ARGUMENT. */
function createUnaryHandler<Request, Answer>(
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
