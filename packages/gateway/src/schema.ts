import type { EvacuatedDomain } from '@dotterelpass/evacuation';
import type { Result } from 'neverthrow';
import type { GatewayConfig, Registration } from './catalog.js';

/** Where operators ask for evacuations of failure domains. */
export interface EvacuationKeys {
  /** Prefix of all keys that operators write, among them that of the configuration. */
  readonly operatorPrefix: string;
  /** Prefix of the keys of evacuations, which end with the failure domain. */
  readonly evacuationPrefix: string;
}

/** Keys of the configuration and the registrations in the store, and their decoders. */
export interface StoreSchema {
  /** Key of the configuration that operators write. */
  readonly configKey: string;
  /** Prefix of the keys of registrations. */
  readonly registrationPrefix: string;
  /** Keys of evacuations; undefined disables them. */
  readonly evacuations?: EvacuationKeys | undefined;
  decodeConfig(value: Buffer): Result<GatewayConfig, string>;
  /**
   * Replaces the keys of workspaces, which other instances must not be sent.
   *
   * @param value - A configuration with workspaces.
   * @returns A value for which `decodeConfig` gives the same result.
   */
  redactConfig(value: Buffer): Buffer;
  decodeRegistration(key: string, value: Buffer): Result<Registration, string>;
}

/** Receives the configuration, the registrations and the evacuations. */
export interface ReplicaTarget {
  readonly version: number;
  setConfig(config: GatewayConfig, source: string): void;
  setRegistrations(registrations: readonly Registration[]): void;
  /** @param evacuated - All failure domains that are evacuated. */
  setEvacuations(evacuated: readonly EvacuatedDomain[]): void;
}
