/** What a question asks of a member. @internal */
export type QuestionKind = 'status' | 'fence' | 'promote' | 'follow';

/** @internal */
export interface Question {
  questionId: number;
  kind: QuestionKind;
  member: string;
  askedAt: number;
}

/** Questions without an answer so far. @internal */
export interface QuestionTable {
  /** Identifier that the next question gets; an answer to it or a later one was asked after now. */
  nextId: () => number;
  add: (question: Omit<Question, 'questionId'>) => Question;
  /** Takes the question off the table; undefined when it was answered or given up before. */
  take: (questionId: number) => Question | undefined;
  /** Takes off every question that was asked at or before the given time, oldest first. */
  takeAskedBy: (time: number) => Question[];
  oldestAskedAt: () => number | undefined;
  /** Status questions to the member that are still open. */
  openCount: (member: string) => number;
}

/**
 * Creates the table of open questions.
 *
 * Identifiers rise by one, so "asked after an event" is `questionId >= nextId() at the event`: exact
 * also where several events share one time, and independent of clocks.
 *
 * @internal
 */
export function createQuestionTable(): QuestionTable {
  let lastId = 0;
  const open = new Map<number, Question>();
  const openStatusQuestions = new Map<string, number>();

  function count(question: Question, change: number): void {
    if (question.kind !== 'status') return;
    openStatusQuestions.set(question.member, openCount(question.member) + change);
  }

  function openCount(member: string): number {
    return openStatusQuestions.get(member) ?? 0;
  }

  function add(draft: Omit<Question, 'questionId'>): Question {
    lastId += 1;
    const question = { ...draft, questionId: lastId };
    open.set(lastId, question);
    count(question, 1);
    return question;
  }

  function take(questionId: number): Question | undefined {
    const question = open.get(questionId);
    if (!question) return undefined;
    open.delete(questionId);
    count(question, -1);
    return question;
  }

  function takeAskedBy(time: number): Question[] {
    const taken: Question[] = [];
    for (const question of open.values()) {
      if (question.askedAt > time) break;
      taken.push(question);
    }
    taken.forEach(({ questionId }) => take(questionId));
    return taken;
  }

  function oldestAskedAt(): number | undefined {
    const oldest = open.values().next();
    return oldest.done ? undefined : oldest.value.askedAt;
  }

  return { nextId: () => lastId + 1, add, take, takeAskedBy, oldestAskedAt, openCount };
}
