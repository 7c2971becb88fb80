import type { RelayResponse } from '@wisterialift/peer/relay';
import type { UpstreamAnswer } from '@wisterialift/pooling';
import type { GroupRouter } from '../groups/groupRouter';
import type { StatementRequest } from '../groups/statementRequest';
import type { RelayAction } from './relayMessages';

/** The part of a group's load that its refusals state. */
export type RefusalLoad = Pick<
  NonNullable<RelayResponse['load']>,
  'refusingMilliseconds' | 'isRefusingTeamOnly'
>;

/**
 * States for how long this holder would refuse another statement like a refused one, so that the
 * caller's instance does not send it in vain.
 *
 * @returns undefined if it would not, or without the control `retryGuidance`. Statements of a
 *   transaction have none: they are not refused by the length of the queue.
 */
export function createRefusalLoad(
  runner: Partial<Pick<GroupRouter, 'estimateRefusal'>>,
  refused: { action: RelayAction; request: StatementRequest; answer: UpstreamAnswer },
): RefusalLoad | undefined {
  const { action, request, answer } = refused;
  if (answer.outcome !== 'refused' || (action !== 'read' && action !== 'write')) return undefined;
  const estimate = runner.estimateRefusal?.(request, action);
  return (
    estimate && {
      refusingMilliseconds: estimate.milliseconds,
      isRefusingTeamOnly: estimate.isTeamOnly,
    }
  );
}
