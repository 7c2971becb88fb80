import { z } from 'zod';

/** Load controls that a deployment can enable. @public */
export const LOAD_CONTROLS = [
  /** Orders waiting statements fairly between teams, within each priority. */
  'fairOrder',
  /** Limits the concurrent statements at a member by the queueing delay measured there. */
  'adaptiveConcurrency',
  /** States return times from the queue that a statement needs, and refuses at the first instance. */
  'retryGuidance',
  /** Sends statements that only the primary can run to the holder in the primary's data centre. */
  'primaryHolder',
  /** Polls replicas early for the evidence that statements with a tight goal wait for. */
  'promptEvidence',
  /** Sends reads elsewhere while a replica fails them, and repeats failed reads. */
  'failureEjection',
] as const;

/** @public */
export type LoadControl = (typeof LOAD_CONTROLS)[number];

/** Whether a deployment enables a control. @public */
export type IsLoadControlEnabled = (control: LoadControl) => boolean;

/** A list of the controls that are enabled; each is disabled by default. @public */
export const loadControlsSchema = z
  .array(
    z.enum(LOAD_CONTROLS, {
      error: ({ input }) => `expected one of ${LOAD_CONTROLS.join(', ')}, received ${input}`,
    }),
  )
  .transform((names) => new Set(names));
