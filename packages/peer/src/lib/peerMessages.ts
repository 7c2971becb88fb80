import type { ConfigurationObject, Instance } from '@wisterialift/schema';

/** Configuration number of an instance without a configuration. @public */
export const NO_CONFIGURATION_NUMBER = -1;

/** A published primary; ignored unless its term is above the known one. @public */
export interface PublishedPrimary {
  group: string;
  term: number;
  primary: string;
}

/** The configuration of a peer. @public */
export interface PeerConfiguration {
  /** Active number at the peer; {@link NO_CONFIGURATION_NUMBER} for none. */
  number: number;
  /** Not validated; undefined unless the number is above the requested one. */
  configurationObject: unknown;
  /** Time since the platform confirmed to the peer that this number is current. */
  ageMilliseconds: number;
}

/** The instances in a peer's list. @public */
export interface PeerInstances {
  instances: Instance[];
  /** Time since the platform returned the list that this one derives from. */
  ageMilliseconds: number;
}

/** The active configuration of an instance. @public */
export interface HeldConfiguration {
  /** Undefined before the first configuration. */
  configurationObject: ConfigurationObject | undefined;
  ageMilliseconds: number;
}

/** A peer's answer to a ping. @public */
export interface PeerStatus {
  instance: string;
  configurationNumber: number;
}

/** Handlers of messages from other instances. @public */
export interface PeerHandlers {
  /** @returns the active number after the message. */
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
  /** Authority that signed the certificates of all instances, which contain their IP addresses. */
  authority: Buffer;
}

/** Well above the largest configuration, which is limited to a megabyte. */
export const MESSAGE_LIMIT_BYTES = 4 * 1_024 * 1_024;
