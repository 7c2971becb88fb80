import { describe, expect, it } from 'vitest';
import { runAdmissionExperiments } from '../lib/experiments/admissionExperiments';

describe('admission experiments', () => {
  const figures = runAdmissionExperiments(1);

  // A greedy caller asks for 160% of the capacity and nine modest ones for 40%. First in, first out
  // lets every request wait past its deadline and the database works for answers nobody takes.
  it('keeps the goodput and the share of modest callers at twice the capacity', () => {
    const { firstInFirstOut, fairWithDeadlines } = figures.atTwiceTheCapacity;
    const goodputAtCapacity = figures.atCapacity.fairWithDeadlines.goodput;
    expect(fairWithDeadlines.goodput).toBeGreaterThan(0.9 * goodputAtCapacity);
    expect(fairWithDeadlines.modestShare).toBeGreaterThan(0.99);
    expect(firstInFirstOut.goodput).toBeLessThan(0.2 * goodputAtCapacity);
  });

  // A database freezes for a second. Retries keep it overloaded long after it is whole again.
  it('recovers from a freeze with a retry budget and does not without', () => {
    const { unlimited, budget } = figures.retriesOnASlowDatabase;
    expect(budget.goodShareLater).toBeGreaterThan(0.95);
    expect(unlimited.goodShareLater).toBeLessThan(0.05);
  });

  // Instances are replaced one by one and each sees the list late: those that still count the fewer
  // take the connections of a newcomer.
  it('stays within the connection limit while lists lag', () => {
    const { equalSplit, holdDown } = figures.connectionsUnderLaggingLists;
    expect(holdDown.peakSum).toBeLessThanOrEqual(30);
    expect(equalSplit.peakSum).toBeGreaterThan(30);
  });

  it('uses the slots that quiet instances leave and backs off when all are busy', () => {
    const { fairPart, adaptive } = figures.oneBusyInstanceOfSeven;
    expect(adaptive.throughput).toBeGreaterThan(4 * fairPart.throughput);
    const busy = figures.sevenBusyInstances;
    expect(busy.adaptive.databaseMilliseconds).toBeLessThan(
      busy.allSlots.databaseMilliseconds / 1.5,
    );
  });
});
