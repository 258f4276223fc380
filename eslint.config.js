import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Two-letter names that are ordinary English or standard abbreviations. */
const SHORT_NAMES = ['at', 'by', 'gb', 'id', 'kb', 'ms', 'of', 'ok', 'on', 'to'];

/**
 * One-letter names are reserved for parameters of one-line arrow functions, the counters `i`, `j`, `k` and valibot's
 * namespace `v`.
 */
const ONE_LETTER = '[name=/^[a-hl-z]$/]';
const ONE_LETTER_NAMES = [
  `:function[body.type="BlockStatement"] > Identifier.params${ONE_LETTER}`,
  `:not(ForStatement) > VariableDeclaration > VariableDeclarator > Identifier.id${ONE_LETTER}`,
];

/** Numbers that need no name: identities, halves, percentages, milliseconds per second, HTTP status codes. */
const UNNAMED_NUMBERS = [
  -1, 0, 0.5, 1, 2, 3, 10, 100, 200, 201, 400, 404, 405, 409, 421, 422, 429, 500, 503, 1000,
];

/**
 * Every rule is an error for every file. Existing violations are counted in `eslint-suppressions.json` by file and rule:
 * ESLint fails if a count rises, and also if a count can be lowered (`npm run lint:prune`).
 */
export default tseslint.config(
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  js.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { jsdoc },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: true }],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'typeLike', format: ['PascalCase'] },
        { selector: 'function', format: ['camelCase'] },
        { selector: 'variable', format: ['camelCase', 'UPPER_CASE'], leadingUnderscore: 'allow' },
        {
          selector: 'variable',
          modifiers: ['const', 'global'],
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
        },
        { selector: 'parameter', format: ['camelCase'], leadingUnderscore: 'allow' },
        { selector: 'classMethod', format: ['camelCase'] },
        { selector: 'classProperty', format: ['camelCase', 'UPPER_CASE'] },
      ],
      'id-length': [
        'error',
        { min: 3, exceptions: SHORT_NAMES, exceptionPatterns: ['^[A-Za-z_]$'], properties: 'never' },
      ],
      'no-restricted-syntax': [
        'error',
        ...ONE_LETTER_NAMES.map((selector) => ({ selector, message: 'A name of one letter: write it out.' })),
      ],
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
      'max-lines': ['error', { max: 250 }],
      'max-lines-per-function': ['error', { max: 40, skipComments: true, skipBlankLines: true }],
    },
  },
  {
    files: ['src/**/*.ts'],
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
          require: { ClassDeclaration: true, FunctionDeclaration: true },
        },
      ],
      '@typescript-eslint/no-magic-numbers': [
        'error',
        {
          ignore: UNNAMED_NUMBERS,
          ignoreArrayIndexes: true,
          ignoreEnums: true,
          ignoreReadonlyClassProperties: true,
        },
      ],
    },
  },
  {
    // Node's test runner awaits the promises that `test`, `describe` and `it` return.
    files: ['test/**/*.test.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', package: 'node:test', name: ['test', 'describe', 'it'] },
          ],
        },
      ],
    },
  },
  { files: ['**/*.js', '**/*.mjs'], ...tseslint.configs.disableTypeChecked },
);
