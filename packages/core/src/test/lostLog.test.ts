import { describe, expect, it } from 'vitest';
import { createMemberTable } from '../lib/engine/memberTable';
import { createDatabase } from './engineScenario';

interface Answer {
  questionId: number;
  sentAt: number;
  now: number;
  index: number;
  currentTerm?: number;
  role?: 'primary' | 'replica';
  incarnation?: string;
}

describe('a member that loses its log', () => {
  function createTable(names = ['a1', 'b1', 'c1']) {
    const table = createMemberTable(names.map(createDatabase));
    const answer = (
      member: string,
      { index, currentTerm = 1, role = 'replica', incarnation = '1', ...request }: Answer,
    ) => {
      const position = { term: index > 0 ? Math.max(1, currentTerm) : 0, index };
      table.onAnswered({
        member,
        ...request,
        status: {
          member,
          role,
          currentTerm,
          logEnd: position,
          applied: position,
          termStarts: [{ term: 1, start: 0 }],
          incarnation,
        },
      });
    };
    const isCounted = (name: string) => {
      const member = table.get(name);
      return member !== undefined && table.isCounted(member);
    };
    answer('a1', { questionId: 1, sentAt: 0, now: 10, index: 5, role: 'primary' });
    names.slice(1).forEach((name) => {
      answer(name, { questionId: 2, sentAt: 0, now: 10, index: 5 });
    });
    return { table, answer, isCounted };
  }

  it('is not seen in an answer that was overtaken by an earlier one', () => {
    // Guards against a healthy member that does not count because two answers crossed.
    const { answer, isCounted } = createTable();
    answer('b1', { questionId: 4, sentAt: 5, now: 12, index: 4 });
    expect(isCounted('b1')).toBe(true);
    answer('b1', { questionId: 5, sentAt: 13, now: 15, index: 4 });
    expect(isCounted('b1')).toBe(false);
  });

  it('is seen in an answer below one that crossed another', () => {
    // Guards against the loss of entries that a crossed answer showed, and that it confirmed a write with.
    const { answer, isCounted } = createTable();
    answer('b1', { questionId: 4, sentAt: 5, now: 12, index: 7 });
    answer('b1', { questionId: 5, sentAt: 13, now: 15, index: 6 });
    expect(isCounted('b1')).toBe(false);
  });

  it('is seen by a lower term, or by an empty log in any term', () => {
    // Guards against a member that lost one of the two, or was fenced before it answered.
    const { answer, isCounted } = createTable();
    answer('b1', { questionId: 4, sentAt: 20, now: 22, index: 5, currentTerm: 0 });
    expect(isCounted('b1')).toBe(false);
    const other = createTable();
    other.answer('b1', { questionId: 4, sentAt: 20, now: 22, index: 0, currentTerm: 2 });
    expect(other.isCounted('b1')).toBe(false);
  });

  it('is seen by another incarnation that answers with the same log', () => {
    // Guards against a log that was lost in part and has grown again since.
    const { answer, isCounted } = createTable();
    answer('b1', { questionId: 4, sentAt: 5, now: 12, index: 5, incarnation: '2' });
    expect(isCounted('b1')).toBe(false);
  });

  it('counts again only after the primary and a majority have answered', () => {
    // Guards against a primary that was replaced, and against its log end from before the loss.
    const five = ['a1', 'b1', 'c1', 'd1', 'e1'];
    const { answer, isCounted } = createTable(five);
    answer('b1', { questionId: 4, sentAt: 20, now: 22, index: 0 });
    ['c1', 'd1', 'e1'].forEach((name) => {
      answer(name, { questionId: 5, sentAt: 24, now: 26, index: 9 });
    });
    answer('b1', { questionId: 6, sentAt: 28, now: 30, index: 5 });
    expect(isCounted('b1')).toBe(false);
    const alone = createTable(five);
    alone.answer('b1', { questionId: 4, sentAt: 20, now: 22, index: 0 });
    alone.answer('a1', { questionId: 5, sentAt: 24, now: 26, index: 9, role: 'primary' });
    alone.answer('b1', { questionId: 6, sentAt: 28, now: 30, index: 9 });
    expect(alone.isCounted('b1')).toBe(false);
  });

  it('does not show that a primary is established', () => {
    // Guards against a settled write, or an established list, by the log of a member that lost it once.
    const { table, answer } = createTable(['a1', 'b1']);
    expect(table.findEstablishedPrimary()?.member).toBe('a1');
    const { table: three, answer: answerOfThree } = createTable();
    answerOfThree('c1', { questionId: 4, sentAt: 20, now: 22, index: 5, currentTerm: 2 });
    answerOfThree('b1', { questionId: 5, sentAt: 20, now: 22, index: 0 });
    answerOfThree('b1', { questionId: 6, sentAt: 24, now: 26, index: 5 });
    expect(three.findEstablishedPrimary()).toBeUndefined();
    const term = 100_000_001;
    const later = { questionId: 4, sentAt: 20, now: 22, index: 5, currentTerm: term };
    answer('a1', { ...later, role: 'primary' });
    answer('b1', later);
    expect(table.findEstablishedPrimary()).toBeUndefined();
  });

  it('counts again by answers of a majority from after the loss alone', () => {
    // Guards against a position from before the loss, which later acknowledged writes are above.
    const { answer, isCounted } = createTable();
    answer('b1', { questionId: 4, sentAt: 20, now: 22, index: 0 });
    answer('b1', { questionId: 5, sentAt: 24, now: 26, index: 5 });
    expect(isCounted('b1')).toBe(false);
    answer('c1', { questionId: 6, sentAt: 24, now: 26, index: 9 });
    answer('b1', { questionId: 7, sentAt: 28, now: 30, index: 5 });
    expect(isCounted('b1')).toBe(false);
    answer('a1', { questionId: 8, sentAt: 28, now: 30, index: 9, role: 'primary' });
    expect(isCounted('b1')).toBe(false);
    answer('b1', { questionId: 9, sentAt: 32, now: 34, index: 9 });
    expect(isCounted('b1')).toBe(true);
  });

  it('counts where the others are no majority', () => {
    // Guards against a group that stays without a primary because nothing can be proved any more.
    const { answer, isCounted } = createTable();
    answer('b1', { questionId: 4, sentAt: 20, now: 22, index: 0 });
    answer('c1', { questionId: 5, sentAt: 20, now: 22, index: 0 });
    expect(isCounted('b1')).toBe(true);
    expect(isCounted('c1')).toBe(true);
  });
});
