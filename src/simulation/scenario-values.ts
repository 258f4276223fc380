/** Validators of the values in scenario files, with the messages of their errors. */
import * as v from 'valibot';

/** A finite number of at least 0. */
export const nonNegativeNumber = v.pipe(
  v.number('a number'),
  v.finite('a finite number'),
  v.minValue(0, 'at least 0'),
);
/** A finite number above 0. */
export const positiveNumber = v.pipe(
  v.number('a number'),
  v.finite('a finite number'),
  v.gtValue(0, 'more than 0'),
);
/** A whole number of at least 0. */
export const nonNegativeInteger = v.pipe(
  v.number('a whole number'),
  v.integer('a whole number'),
  v.minValue(0, 'at least 0'),
);
/** A whole number of at least 1. */
export const positiveInteger = v.pipe(
  v.number('a whole number'),
  v.integer('a whole number'),
  v.minValue(1, 'at least 1'),
);
/** A number from 0 to 1. */
export const fraction = v.pipe(v.number('a share'), v.minValue(0, 'at least 0'), v.maxValue(1, 'at most 1'));
/** A text that is not empty. */
export const nonEmptyString = v.pipe(v.string('a text'), v.nonEmpty('a text that is not empty'));
/** A flag that is false unless it is given. */
export const optionalFlag = v.optional(v.boolean('true or false'), false);
/** The smallest and the largest value. */
export const range = v.tuple([nonNegativeNumber, nonNegativeNumber], 'two numbers: least and most');
