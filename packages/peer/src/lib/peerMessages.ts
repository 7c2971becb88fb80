import type { ConfigurationObject, Instance } from '@wisterialift/schema';

/** The number of an instance that has no configuration in force yet. @public */
export const NO_CONFIGURATION_NUMBER = -1;

/** A primary that was published; news only where its term is above the one known. @public */
export interface PublishedPrimary {
  group: string;
  term: number;
  primary: string;
}

/** What a peer says of its configuration. @public */
export interface PeerConfiguration {
  /** Number in force there; {@link NO_CONFIGURATION_NUMBER} for none. */
  number: number;
  /** Unchecked; undefined unless the number is above the one asked for. */
  configurationObject: unknown;
  /** Time since the platform said there that this number is the present one. */
  ageMilliseconds: number;
}

/** The instances that a peer knows. @public */
export interface PeerInstances {
  instances: Instance[];
  /** Time since the platform answered there with the list that this is made of. */
  ageMilliseconds: number;
}

/** What is in force at an instance, for a peer that asks. @public */
export interface HeldConfiguration {
  /** Undefined before the first. */
  configurationObject: ConfigurationObject | undefined;
  ageMilliseconds: number;
}

/** What a peer answers to a ping. @public */
export interface PeerStatus {
  instance: string;
  configurationNumber: number;
}

/**
 * What an instance does with messages of its peers.
 *
 * @public
 */
export interface PeerHandlers {
  /** @returns the number in force after the message. */
  onConfigurationAnnounced: (configurationObject: unknown) => number;
  onConfigurationRequested: () => HeldConfiguration;
  onInstancesRequested: () => PeerInstances;
  onPrimaryPublished: (published: PublishedPrimary) => void;
  /** Another instance is about to stop. */
  onLeavingAnnounced: (instance: string) => void;
  onPing: () => PeerStatus;
}

/** Keys of mutual TLS between instances, in PEM. @public */
export interface PeerTls {
  certificate: Buffer;
  key: Buffer;
  /** Must have signed the certificates of all instances, which name their IP address. */
  authority: Buffer;
}

/** Largest message; the largest configuration, a megabyte, fits several times. */
export const MESSAGE_LIMIT_BYTES = 4 * 1_024 * 1_024;
